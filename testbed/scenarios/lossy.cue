name:  "lossy"
about: "A fifth of what is sent to two servers is swallowed, and one hangs."
rate:  1000
faults: [
	{kind: "link_loss", at: "5s", lasts: "10s", server: 1, by: 0.2},
	{kind: "link_loss", at: "5s", lasts: "10s", server: 5, by: 0.2},
	{kind: "hang", at: "18s", lasts: "3s", server: 7},
]
bounds: [{figure: "served", least: 0.95}]
