name:  "quotas"
about: "A few customers ask for far more than their plans give, unevenly through the gateways."
rate:  400
customers: 40
zipf:  1.0
uneven: 0.8
burst: 0.3
plans: [
	{name: "equipo", rate: 4, burst: 16, over_worth: 0.5, over_cost: 0.2},
	{name: "empresa", rate: 10, burst: 40, ceiling_rate: 14, ceiling_burst: 56, ceiling_slack: 5.6},
]
bounds: [{figure: "failed", most: 0.01}]
