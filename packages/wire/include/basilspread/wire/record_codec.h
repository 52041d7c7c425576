#ifndef BASILSPREAD_WIRE_RECORD_CODEC_H_
#define BASILSPREAD_WIRE_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "basilspread/core/record.h"
#include "basilspread/core/result.h"

namespace basilspread::wire {

std::string EncodeBatch(const LogBatch& batch);

/// Verifies and decodes one batch, the unit of a log stream.
/// Errors: kBadRequest for malformed bytes, kProtocolMismatch for a batch of
/// another protocol version.
Result<LogBatch> DecodeBatch(std::string_view bytes);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_RECORD_CODEC_H_
