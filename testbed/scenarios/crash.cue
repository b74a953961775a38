name:  "crash"
about: "A server ends in the middle of its work and comes back cold."
rate:  1000
faults: [{kind: "crash", at: "8s", lasts: "6s", server: 2}]
bounds: [{figure: "served", least: 0.97}, {figure: "attempts_per_request", most: 1.1}]
