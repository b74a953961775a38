name:  "reality-overload"
about: "Half as much again as the servers can do."
time:  "8s"
rate:  900
servers: 6
model: {cores: 2}
