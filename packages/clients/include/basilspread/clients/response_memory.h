#ifndef BASILSPREAD_CLIENTS_RESPONSE_MEMORY_H_
#define BASILSPREAD_CLIENTS_RESPONSE_MEMORY_H_

#include <cstddef>
#include <functional>

namespace basilspread::clients {

/// Called with the bytes of a response held so far; returns false if the
/// response must be dropped.
using HoldResponse = std::function<bool(std::size_t)>;

/// Opens the account of a response that is read from the socket with this
/// descriptor. The account ends with the returned function. If empty, only the
/// size of each response is limited. May be called from any thread.
using OpenResponse = std::function<HoldResponse(int descriptor)>;

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_RESPONSE_MEMORY_H_
