#ifndef BASILSPREAD_CTL_SRC_HTTP_CALL_H_
#define BASILSPREAD_CTL_SRC_HTTP_CALL_H_

#include <string>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/result.h"
#include "basilspread/core/time.h"

namespace basilspread::ctl {

struct HttpAnswer {
  int status = 0;
  std::string body;
};

/// Makes one HTTP call to an entry process. Errors: kOwnerUnreachable.
Result<HttpAnswer> Call(const config::Endpoint& endpoint,
                        const std::string& method, const std::string& target,
                        const std::string& body, Duration timeout);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_HTTP_CALL_H_
