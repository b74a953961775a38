name:  "gateway-lost"
about: "A gateway's process ends; fronts notice three seconds later; it comes back with nothing."
faults: [{kind: "gateway_lost", gateway: 1, at: "8s", lasts: "10s"}]
bounds: [{figure: "served", least: 0.9}]
