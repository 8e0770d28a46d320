// Identity of a request across its repeats.
//
// A client that sends a request again uses a new id, so what a request does is
// identified by what the upstream gets: method, host, target and body. The hash
// is SHA-256, cut to 16 bytes, because callers choose all of these and must not
// be able to make their request look like another one.
//
// The body of a streamed request is not known when it is sent on; only its
// length is part of the identity, if the client announced it.
//
// Cost: one hash over the parts.
#ifndef ALMONDWIND_CRASHES_IDENTITY_H_
#define ALMONDWIND_CRASHES_IDENTITY_H_

#include <string>
#include <string_view>

#include "almondwind/http/message.h"

namespace almondwind::crashes {

struct RequestParts {
  std::string_view method;
  std::string_view host;
  std::string_view target;
  std::string_view body;
  http::BodyRest rest;
};

// 16 bytes.
std::string IdentityOf(const RequestParts& parts);

// The first half of an identity in hexadecimal digits, for logs.
std::string ShortName(const std::string& identity);

}  // namespace almondwind::crashes

#endif  // ALMONDWIND_CRASHES_IDENTITY_H_
