name:  "workers-die"
about: "Up to 24% of the servers die at once and come back cold (the brief's 10.1)."
time:  "45s"
servers: 17
rate: 2200
faults: [{kind: "crash", share: 0.24, at: "6s", at_to: "10s", lasts: "10s", lasts_to: "24s"}]
model: {cold: "17s", cold_speed: 0.17}
bounds: [{figure: "served", least: 0.93}, {figure: "attempts_per_request", most: 1.2}]
