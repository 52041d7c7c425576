#ifndef BASILSPREAD_CORE_INTERNAL_PEERS_H_
#define BASILSPREAD_CORE_INTERNAL_PEERS_H_

#include <string>

#include "basilspread/core/event.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

/// Which entry processes there are, and the links to them.
namespace basilspread::internal::peers {

void Start(Context& context);
void OnLinkChanged(Context& context, const PeerLinkChanged& event);
void OnRefused(Context& context, const PeerRefused& event);
void OnMismatch(Context& context, const PeerVersionMismatched& event);
void OnMemberRecord(Context& context, const MemberRecord& record);

/// Whether one more peer, or one that is known, may be remembered.
bool HasRoomFor(const Context& context, const NodeName& node);

/// Connects to a peer that was learnt or has moved.
void LearnAddress(Context& context, Peer& peer, const std::string& address);

/// Reopens silent links, forgets peers that are gone, and announces this
/// process before its earlier announcement expires.
void Maintain(Context& context);

/// Tells later processes that this one is no more.
void AnnounceLeaving(Context& context);

}  // namespace basilspread::internal::peers

#endif  // BASILSPREAD_CORE_INTERNAL_PEERS_H_
