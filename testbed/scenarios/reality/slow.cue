name:  "reality-slow"
about: "A server is ten times slower, another hangs, a third drains."
time:  "8s"
rate:  500
faults: [
	{kind: "slow", server: 0, at: "2s", lasts: "4s", by: 10},
	{kind: "hang", server: 4, at: "2s", lasts: "2s"},
	{kind: "drain", server: 8, at: "3s", lasts: "3s"},
]
