name:  "calm"
about: "Nothing goes wrong; quotas are wide."
rate:  1000
bounds: [{figure: "served", least: 0.98}, {figure: "in_aim", least: 0.98}, {figure: "wasted", most: 0.01}]
