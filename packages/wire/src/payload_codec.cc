#include "payload_codec.h"

#include <string>
#include <vector>

namespace basilspread::wire {
namespace {

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

flatbuffers::Offset<fb::Payload> Pack(flatbuffers::FlatBufferBuilder& builder,
                                      const PayloadPtr& payload) {
  if (!payload) {
    return 0;
  }
  std::vector<flatbuffers::Offset<fb::Header>> headers;
  for (const Header& header : payload->headers) {
    const auto name = builder.CreateString(header.name);
    const auto value = builder.CreateString(header.value);
    headers.push_back(fb::CreateHeader(builder, name, value));
  }
  const auto method = builder.CreateString(payload->method);
  const auto target = builder.CreateString(payload->target);
  const auto packed_headers = builder.CreateVector(headers);
  const auto* bytes =
      reinterpret_cast<const std::uint8_t*>(payload->body.data());
  const auto body = builder.CreateVector(bytes, payload->body.size());
  return fb::CreatePayload(builder, method, target, payload->status,
                           packed_headers, body);
}

PayloadPtr Unpack(const fb::Payload* packed) {
  if (packed == nullptr) {
    return nullptr;
  }
  boost::intrusive_ptr<Payload> payload(new Payload);
  payload->method = TextOf(packed->method());
  payload->target = TextOf(packed->target());
  payload->status = packed->status();
  if (packed->headers() != nullptr) {
    for (const fb::Header* header : *packed->headers()) {
      payload->headers.push_back(
          Header{header->name()->str(), header->value()->str()});
    }
  }
  if (packed->body() != nullptr) {
    payload->body.assign(packed->body()->begin(), packed->body()->end());
  }
  return payload;
}

}  // namespace basilspread::wire
