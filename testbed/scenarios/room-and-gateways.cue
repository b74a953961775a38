name:  "room-and-gateways"
about: "A whole room is lost with its gateway, and comes back cold (the brief's 10.4)."
time:  "45s"
servers: 18
rate: 2000
faults: [{kind: "room_lost", room: 1, with_gateways: true, at: "6s", at_to: "9s", lasts: "8200ms", lasts_to: "22s"}]
model: {cold: "17s", cold_speed: 0.17}
bounds: [{figure: "served", least: 0.85}]
