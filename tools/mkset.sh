#!/usr/bin/env bash
# Prints a set of the given size: mkset.sh TARGETS SERVICES ROUTES DATA_CENTRES.
awk -v nt="$1" -v ns="$2" -v nr="$3" -v nd="$4" 'BEGIN {
	printf "{\n\t\"format\": 1,\n\t\"data_centres\": {"
	for (i = 0; i < nd; i++)
		printf "%s\n\t\t\"dc-%02d\": { \"state\": \"in\" }", i ? "," : "", i
	printf "\n\t},\n\t\"services\": {"
	for (i = 0; i < ns; i++)
		printf "%s\n\t\t\"service-%02d\": { \"slots\": 12, \"connections\": 120 }", i ? "," : "", i
	printf "\n\t},\n\t\"targets\": {"
	for (i = 0; i < nt; i++)
		printf "%s\n\t\t\"target-%04d\": { \"service\": \"service-%02d\", \"data_centre\": \"dc-%02d\", \"vm\": \"vm-%04d\", \"state\": \"in\" }", i ? "," : "", i, i % ns, int(i / ns) % nd, i
	printf "\n\t},\n\t\"routes\": {"
	for (i = 0; i < nr; i++)
		printf "%s\n\t\t\"route-%03d\": { \"method\": \"%s\", \"path\": \"/s%02d/r%03d/\", \"service\": \"service-%02d\", \"repeatable\": %s, \"deadline_ms\": 2000 }", i ? "," : "", i, i % 2 ? "POST" : "GET", i % ns, i, i % ns, i % 2 ? "false" : "true"
	printf "\n\t}\n}\n"
}'
