name:  "reality-errors"
about: "A server fails four of five requests quickly."
time:  "8s"
rate:  500
faults: [{kind: "errors", server: 3, at: "2s", lasts: "4s", by: 0.8}]
