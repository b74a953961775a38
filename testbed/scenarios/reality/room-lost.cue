name:  "reality-room-lost"
about: "A room of three is lost with its gateway."
time:  "8s"
rate:  500
faults: [{kind: "room_lost", room: 1, with_gateways: true, at: "2s", lasts: "3500ms"}]
