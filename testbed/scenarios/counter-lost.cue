name:  "counter-lost"
about: "Gateways share by a counter, which is lost for a while."
customers: 200
sharing: "counter"
plans: [{name: "equipo", rate: 2, burst: 8, ceiling_rate: 4, ceiling_burst: 16, ceiling_slack: 2}]
faults: [{kind: "store_lost", at: "10s", lasts: "10s"}]
bounds: [{figure: "served", least: 0.42}]
