name:  "mail-lost"
about: "A quarter of the datagrams between gateways is lost, then all of them."
customers: 200
plans: [{name: "equipo", rate: 2, burst: 8, ceiling_rate: 4, ceiling_burst: 16, ceiling_slack: 2}]
mail_loss: 0.25
faults: [{kind: "mail_loss", at: "10s", lasts: "10s", by: 1}]
bounds: [{figure: "served", least: 0.45}]
