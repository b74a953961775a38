name:  "reality-crash"
about: "Two of nine servers die and come back cold."
time:  "8s"
rate:  500
faults: [{kind: "crash", share: 0.22, at: "2s", lasts: "3s"}]
