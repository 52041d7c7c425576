#include "internal/hosts.h"

#include "internal/jobs.h"
#include "internal/requests.h"

namespace basilspread::internal::hosts {

void Start(Context& context) { context.Emit(ReadHosts{}); }

void OnHostListTimer(Context& context) { context.Emit(ReadHosts{}); }

void OnListed(Context& context, const HostsListed& event) {
  context.ArmIn(TimerKind::kHostList,
                context.state.settings.host_list_interval);
  if (!event.ok || event.unchanged) {
    return;
  }
  HostsState& hosts = context.state.hosts;
  hosts.listed = true;
  hosts.hosts.clear();
  for (const Host& host : event.hosts) {
    hosts.hosts.emplace(host.name, host);
  }
  requests::OnHostsChanged(context);
  jobs::OnHostsChanged(context);
}

}  // namespace basilspread::internal::hosts
