name:  "plan-change"
about: "A plan grows in service and shrinks again; quotas and ceilings follow at every gateway."
customers: 200
sharing: "counter"
plans: [{name: "equipo", rate: 1, burst: 4, ceiling_rate: 2, ceiling_burst: 8, ceiling_slack: 1}]
changes: [
	{at: "8s", plan: "equipo", rate: 3, burst: 12, ceiling_rate: 6, ceiling_burst: 24, ceiling_slack: 2.4},
	{at: "18s", plan: "equipo", rate: 1, burst: 4, ceiling_rate: 2, ceiling_burst: 8, ceiling_slack: 1},
]
bounds: [{figure: "served", least: 0.3}]
