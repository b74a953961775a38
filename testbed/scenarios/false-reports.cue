name:  "false-reports"
about: "What servers say of their load is a second old and far off, and connections cost work."
rate:  1100
model: {report_late: "1s", report_noise: 0.8, connect: "15ms"}
bounds: [{figure: "served", least: 0.9}]
