#ifndef BASILSPREAD_CORE_PAYLOAD_H_
#define BASILSPREAD_CORE_PAYLOAD_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <utility>
#include <vector>

namespace basilspread {

struct Header {
  std::string name;
  std::string value;
};

/// What a caller sent or is to receive. The reducer passes it on unread.
struct Payload
    : boost::intrusive_ref_counter<Payload, boost::thread_safe_counter> {
  /// Method of a request; empty in an answer.
  std::string method;
  /// Path and query of a request; empty in an answer.
  std::string target;
  /// Status that the minion answered with; 0 in a request.
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

using PayloadPtr = boost::intrusive_ptr<const Payload>;

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_PAYLOAD_H_
