name:  "room-lost"
about: "A room of three drops out for ten seconds."
rate:  1000
faults: [{kind: "room_lost", at: "10s", lasts: "10s", room: 1}]
bounds: [{figure: "served", least: 0.9}, {figure: "failed", most: 0.02}]
