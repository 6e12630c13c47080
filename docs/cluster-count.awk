# Counts a day's logs over the whole fleet, by five seconds and destination: what became of webhooks and calls, and
# how often lists were asked for. The dispatchers log each webhook's course where ROWANLINK_LOG=debug is set.
#   awk -f docs/cluster-count.awk LOGS/n*.log | sort -n
# A line: second, destination (or "fleet"), step, count. rejected0 and handed_back0: without any attempt.
# Each log line begins with its second on the day's clock, as the bench writes it.
FNR == 1 { delete tried }
{ window = int($1 / 5) * 5 }
/ course / {
	for (i = 4; i <= NF; i++) {
		split($i, pair, "=")
		field[pair[1]] = pair[2]
	}
	step = field["step"]
	if (step == "attempt") tried[field["webhook"]] = 1
	if ((step == "rejected" || step == "handed_back") && !(field["webhook"] in tried)) step = step "0"
	count[window " " field["dest"] " " step]++
	count[window " fleet " step]++
}
/watch ended/ { count[window " fleet " (/answered 503/ ? "watch_refused" : "watch_ended")]++ }
/destination (sick|cold|well)/ { n = split($0, word, " "); sub(/"$/, "", word[n]); count[window " fleet " word[n]]++ }
END { for (key in count) print key, count[key] }
