name:  "overload"
about: "Twice what the servers can do, within wide quotas; clients leave."
rate:  3600
leaves: 0.05
bounds: [{figure: "served", least: 0.32}, {figure: "wasted", most: 0.2}]
