#ifndef BASILSPREAD_NODE_JOB_API_H_
#define BASILSPREAD_NODE_JOB_API_H_

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/payload.h"
#include "basilspread/core/result.h"

namespace basilspread::node {

/// Whether the target is "/jobs" or below it.
bool IsJobTarget(std::string_view target);

/// Converts a request to "/jobs" or below to an event, see docs/API.md. Errors:
/// kBadRequest, kUnknownRoute.
Result<JobArrived> ReadJobRequest(CallId call, const Payload& request);

/// The response to a job call: the jobs, or the error.
PayloadPtr MakeJobResponse(const JobAnswer& answer);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_JOB_API_H_
