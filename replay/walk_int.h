/* Shared by the walk and its steps. */
#ifndef WALK_INT_H
#define WALK_INT_H

#include "replay.h"

/* What a step does. */
enum step_kind {
	STEP_CALL,
	STEP_RESEND,
	STEP_DELIVER,
	STEP_DELIVER_LAST,
	STEP_DROP,
	STEP_NEXT,
	STEP_DONE,
	STEP_TIME,
	STEP_RESTART,
	STEP_OUT,
	STEP_DEAD,
	STEP_KINDS
};

#endif
