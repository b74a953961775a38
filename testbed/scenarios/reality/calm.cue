name:  "reality-calm"
about: "Nothing happens."
time:  "8s"
