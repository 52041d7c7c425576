#ifndef BASILSPREAD_CORE_HOSTS_H_
#define BASILSPREAD_CORE_HOSTS_H_

#include <map>

#include "basilspread/core/host.h"
#include "basilspread/core/ids.h"

namespace basilspread {

/// The platform's host list as last read.
struct HostsState {
  std::map<HostName, Host> hosts;
  bool listed = false;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_HOSTS_H_
