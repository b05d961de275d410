/* IPv4 addresses with a port, as text and as socket addresses. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

/* Accepts no host names: nothing here waits for a name server. */
int
address_split(const char *addr, char *host, int *port)
{
	struct in_addr in;
	const char *colon = strrchr(addr, ':');
	char *end;
	long n;

	if (colon == NULL || colon - addr >= ADDRESS_MAX)
		return BASE_EADDRESS;
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	/* strtol() would accept a sign or spaces. */
	if (!g_ascii_isdigit(colon[1]))
		return BASE_EADDRESS;
	n = strtol(colon + 1, &end, 10);
	if (*end != '\0' || n < 1 || n > UINT16_MAX ||
	    inet_pton(AF_INET, host, &in) != 1)
		return BASE_EADDRESS;
	*port = (int)n;
	return BASE_OK;
}

/* The port is stored in network byte order. */
int
address_resolve(const char *addr, struct sockaddr_in *sin)
{
	char host[ADDRESS_MAX];
	int port;

	memset(sin, 0, sizeof(*sin));
	if (address_split(addr, host, &port) != BASE_OK)
		return BASE_EADDRESS;
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &sin->sin_addr);
	return BASE_OK;
}
