#ifndef BASILSPREAD_CORE_INTERNAL_LOG_H_
#define BASILSPREAD_CORE_INTERNAL_LOG_H_

#include "basilspread/core/event.h"
#include "internal/context.h"

namespace basilspread::internal::log {

void Start(Context& context);
void OnReadTimer(Context& context);
void OnAppendTimer(Context& context);
void OnAppended(Context& context, const LogAppended& event);
void OnRead(Context& context, const LogRead& event);

/// Follows a stream from its oldest kept record on, or changes how often a
/// followed one is read while nothing is awaited.
void Follow(Context& context, const StreamName& stream, Duration interval);

/// Stops following a stream that has nothing to append; false when it has.
bool Unfollow(Context& context, const StreamName& stream);

/// Reads a followed stream now.
void ReadNow(Context& context, const StreamName& stream);

/// Adds a record to the next batch of a followed stream. The record takes
/// effect only when it is read back. One that names a shard and an epoch is
/// dropped by every reader unless its writer owns the shard in that epoch at
/// that place of the stream.
void Append(Context& context, const StreamName& stream, LogRecord record);

/// Whether the log has answered lately, and has not failed since.
bool IsAvailable(const Context& context);

/// Whether records of a followed stream are likely to be stored soon: the log
/// is available and no batch of the stream has waited long.
bool IsWritable(const Context& context, const StreamName& stream);

}  // namespace basilspread::internal::log

#endif  // BASILSPREAD_CORE_INTERNAL_LOG_H_
