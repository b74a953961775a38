name:  "fast-errors"
about: "Up to 18% of the servers fail most of their requests quickly (the brief's 10.2)."
time:  "45s"
servers: 17
rate: 2200
faults: [{kind: "errors", share: 0.18, at: "5s", at_to: "10s", lasts: "5900ms", lasts_to: "30s", by: 0.52, by_to: 0.97}]
bounds: [{figure: "served", least: 0.95}, {figure: "failed", most: 0.02}]
