/* Monotonic and wall clocks. */
#include <time.h>

#include "base.h"

#define NS_PER_US 1000
#define US_PER_MS 1000
#define US_PER_S  1000000

static int64_t read_us(clockid_t);

/* Returns a clock's time in microseconds. */
static int64_t
read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

/* Not affected when the system's time is set, unlike base_wall_ms. */
int64_t
base_now_ms(void)
{
	return read_us(CLOCK_MONOTONIC) / US_PER_MS;
}

/* The same clock as base_now_ms. */
int64_t
base_now_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

/* May jump when the system's time is set, so it is not used for deadlines. */
int64_t
base_wall_ms(void)
{
	return read_us(CLOCK_REALTIME) / US_PER_MS;
}
