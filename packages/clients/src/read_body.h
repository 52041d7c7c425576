#ifndef BASILSPREAD_CLIENTS_SRC_READ_BODY_H_
#define BASILSPREAD_CLIENTS_SRC_READ_BODY_H_

#include <istream>
#include <string>

#include "basilspread/clients/response_memory.h"

namespace basilspread::clients {

/// Reads a response body up to its end. Throws Poco::Exception if it exceeds
/// 16 MiB or its account ends it.
std::string ReadBody(std::istream& in, int descriptor,
                     const OpenResponse& open);

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_READ_BODY_H_
