name:  "discovery-silent"
about: "Servers end and others come back while discovery says nothing."
rate:  800
faults: [
	{kind: "discovery_silent", at: "5s", lasts: "15s"},
	{kind: "crash", server: 2, at: "7s", lasts: "4s"},
	{kind: "crash", server: 5, at: "9s", lasts: "15s"},
]
bounds: [{figure: "served", least: 0.95}]
