name:  "reality-quotas"
about: "Customers ask for more than their quotas, and are held to them."
time:  "8s"
customers: 120
plans: [
	{name: "equipo", rate: 1.5, burst: 6, over_worth: 0.2, over_cost: 0.5},
	{name: "empresa", rate: 3, burst: 12, ceiling_rate: 4, ceiling_burst: 16, ceiling_slack: 2},
]
