#ifndef BASILSPREAD_CORE_INTERNAL_PEERS_H_
#define BASILSPREAD_CORE_INTERNAL_PEERS_H_

#include <string>

#include "basilspread/core/event.h"
#include "basilspread/core/record.h"
#include "internal/context.h"

/// Discovery of the other entry processes and the links to them.
namespace basilspread::internal::peers {

void Start(Context& context);
/// A link to a peer has opened or closed.
void OnLinkChanged(Context& context, const PeerLinkChanged& event);
/// The peer's host refused a connection, so its process has ended.
void OnRefused(Context& context, const PeerRefused& event);
/// A peer speaks another protocol version.
void OnMismatch(Context& context, const PeerVersionMismatched& event);
void OnMemberRecord(Context& context, const MemberRecord& record);

/// Whether the node is a known peer or the limit of peers is not reached.
bool HasRoomFor(const Context& context, const NodeName& node);

/// Connects to the peer at the address if that is new.
void UpdateAddress(Context& context, Peer& peer, const std::string& address);

/// Reopens silent links, forgets peers that are gone, and announces this
/// process before its earlier announcement expires.
void Maintain(Context& context);

/// Appends a record to the members stream that this process is leaving.
void AnnounceLeaving(Context& context);

}  // namespace basilspread::internal::peers

#endif  // BASILSPREAD_CORE_INTERNAL_PEERS_H_
