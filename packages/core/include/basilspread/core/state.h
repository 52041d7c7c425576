#ifndef BASILSPREAD_CORE_STATE_H_
#define BASILSPREAD_CORE_STATE_H_

#include "basilspread/core/configuration.h"
#include "basilspread/core/hooks.h"
#include "basilspread/core/hosts.h"
#include "basilspread/core/jobs.h"
#include "basilspread/core/load.h"
#include "basilspread/core/log_state.h"
#include "basilspread/core/membership.h"
#include "basilspread/core/ownership.h"
#include "basilspread/core/random.h"
#include "basilspread/core/requests.h"
#include "basilspread/core/settings.h"
#include "basilspread/core/submissions.h"

namespace basilspread {

/// The control state of one entry process; only Reduce changes it.
struct State {
  State(Settings process_settings, Hooks policy_hooks);

  Settings settings;
  Hooks hooks;
  Random random;
  ConfigurationState configuration;
  HostsState hosts;
  LogState log;
  MembershipState membership;
  OwnershipState ownership;
  RequestsState requests;
  JobsState jobs;
  SubmissionsState submissions;
  LoadState load;
  /// Set by StopRequested.
  bool stopping = false;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_STATE_H_
