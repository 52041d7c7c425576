#ifndef BASILSPREAD_CORE_INTERNAL_LOG_H_
#define BASILSPREAD_CORE_INTERNAL_LOG_H_

#include "basilspread/core/event.h"
#include "internal/context.h"

namespace basilspread::internal::log {

/// Begins to follow the tables stream.
void Start(Context& context);
void OnReadTimer(Context& context);
void OnAppendTimer(Context& context);
void OnAppended(Context& context, const LogAppended& event);
void OnRead(Context& context, const LogRead& event);

/// Follows a stream from its oldest kept record on. For a stream that is
/// followed already, sets the time between reads.
void Follow(Context& context, const StreamName& stream, Duration interval);

/// Stops following a stream. Returns false and keeps following while records
/// wait to be appended or a read is outstanding.
bool Unfollow(Context& context, const StreamName& stream);

/// Reads a followed stream at once instead of at the next interval.
void ReadNow(Context& context, const StreamName& stream);

/// Adds a record to the next batch of a stream, which is followed from now on.
/// The record takes effect when it is read back. Readers ignore a record that
/// names a shard and an epoch unless its writer owns the shard in that epoch at
/// that position of the stream.
void Append(Context& context, const StreamName& stream, LogRecord record);

/// Whether the log has answered recently and has not failed since.
bool IsAvailable(const Context& context);

/// Whether records of a followed stream are likely to be stored soon: the log
/// is available and no batch of the stream has been in flight for long.
bool IsWritable(const Context& context, const StreamName& stream);

}  // namespace basilspread::internal::log

#endif  // BASILSPREAD_CORE_INTERNAL_LOG_H_
