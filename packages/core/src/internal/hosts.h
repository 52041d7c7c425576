#ifndef BASILSPREAD_CORE_INTERNAL_HOSTS_H_
#define BASILSPREAD_CORE_INTERNAL_HOSTS_H_

#include "basilspread/core/event.h"
#include "internal/context.h"

namespace basilspread::internal::hosts {

void Start(Context& context);
void OnHostListTimer(Context& context);
void OnListed(Context& context, const HostsListed& event);

}  // namespace basilspread::internal::hosts

#endif  // BASILSPREAD_CORE_INTERNAL_HOSTS_H_
