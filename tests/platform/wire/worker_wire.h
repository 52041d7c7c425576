#ifndef BASILSPREAD_TESTS_PLATFORM_WIRE_WORKER_WIRE_H_
#define BASILSPREAD_TESTS_PLATFORM_WIRE_WORKER_WIRE_H_

#include <optional>
#include <string>

#include "platform/advisor.h"
#include "platform/workers.h"

/// What workers and the advisor speak.
namespace standin::wire {

/// The worker that an order is meant for.
std::string ExpectedWorker(const basilspread::Payload& request);
/// Unset for a request that no worker understands.
std::optional<WorkerOrder> ReadOrder(const basilspread::Payload& request);
PayloadPtr MakeWorkerAnswer(const WorkerAnswer& answer);

std::optional<AdviceQuestion> ReadQuestion(const basilspread::Payload& request);
PayloadPtr MakeAdvice(const Advice& advice);

}  // namespace standin::wire

#endif  // BASILSPREAD_TESTS_PLATFORM_WIRE_WORKER_WIRE_H_
