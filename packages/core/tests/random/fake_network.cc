#include "random/fake_network.h"

#include <algorithm>
#include <cstdint>

namespace random_test {
namespace {

using basilspread::PeerLinkChanged;
using basilspread::PeerMessageNotSent;
using basilspread::PeerReceived;

constexpr Duration kLatency = std::chrono::milliseconds(1);
constexpr Duration kJitter = std::chrono::milliseconds(2);
constexpr Duration kMaxDelay = std::chrono::seconds(3);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);

}  // namespace

void FakeNetwork::AddLink(const NodeName& from, const NodeName& to) {
  this->links[{from, to}];
}

Duration FakeNetwork::Delay() {
  const Duration range = this->slow > 0 ? kMaxDelay : kJitter;
  const auto bound = static_cast<std::uint64_t>(range.count());
  return kLatency +
         Duration(static_cast<std::int64_t>(this->random.NextBelow(bound)));
}

void FakeNetwork::Send(const ProcessId& from, const SendToPeer& send) {
  const Ends ends{from.node, send.peer};
  Link& link = this->links[ends];
  if (!link.connected) {
    this->deliver(from.node, PeerMessageNotSent{send.peer, send.message,
                                                send.incarnation});
    return;
  }
  if (link.silent) {
    return;
  }
  link.last_delivery =
      std::max(link.last_delivery, this->schedule.Now() + this->Delay());
  const PeerReceived received{from, send.message, send.incarnation};
  this->schedule.After(link.last_delivery - this->schedule.Now(),
                       [this, ends, received, generation = link.generation] {
                         if (this->links[ends].generation == generation) {
                           this->deliver(ends.second, received);
                         }
                       });
}

void FakeNetwork::OnNodeChanged(const NodeName& node) {
  for (const auto& [ends, link] : this->links) {
    if (ends.first == node || ends.second == node) {
      this->Disconnect(ends);
      this->Update(ends);
    }
  }
}

void FakeNetwork::SetCut(const NodeName& a, const NodeName& b, bool is_cut) {
  for (const Ends& ends : {Ends{a, b}, Ends{b, a}}) {
    this->links[ends].cut += is_cut ? 1 : -1;
    this->Update(ends);
  }
}

void FakeNetwork::Silence(const NodeName& from, const NodeName& to) {
  this->links[{from, to}].silent = true;
}

void FakeNetwork::Reopen(const NodeName& from, const NodeName& to) {
  const Ends ends{from, to};
  this->Disconnect(ends);
  this->Update(ends);
}

bool FakeNetwork::CanConnect(const Ends& ends) {
  return this->links[ends].cut == 0 && this->is_alive(ends.first) &&
         this->is_alive(ends.second);
}

void FakeNetwork::Disconnect(const Ends& ends) {
  Link& link = this->links[ends];
  ++link.generation;
  link.silent = false;
  if (link.connected) {
    link.connected = false;
    this->deliver(ends.first, PeerLinkChanged{ends.second, false});
  }
}

void FakeNetwork::Update(const Ends& ends) {
  if (!this->CanConnect(ends)) {
    this->Disconnect(ends);
    return;
  }
  this->schedule.After(kReconnectDelay, [this, ends] {
    Link& link = this->links[ends];
    if (link.connected || !this->CanConnect(ends)) {
      return;
    }
    link.connected = true;
    this->deliver(ends.first, PeerLinkChanged{ends.second, true});
  });
}

}  // namespace random_test
