name:  "reality-counter"
about: "Shares by a counter that is lost for a while."
time:  "8s"
customers: 120
sharing: "counter"
plans: [{name: "equipo", rate: 2, burst: 8, ceiling_rate: 4, ceiling_burst: 16, ceiling_slack: 2}]
faults: [{kind: "store_lost", at: "3s", lasts: "2s"}]
