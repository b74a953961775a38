name:  "heavy-class"
about: "A few of one class's requests cost many times the usual work (the brief's 10.3)."
time:  "45s"
servers: 17
rate: 2200
faults: [{kind: "heavy", class: "approve", at: "5s", at_to: "10s", lasts: "14s", lasts_to: "28s", part: 0.012, part_to: 0.03, by: 6.3, by_to: 26}]
bounds: [{figure: "served", least: 0.95}, {figure: "in_aim", least: 0.85}]
