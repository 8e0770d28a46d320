#include "almondwind/crashes/identity.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <memory>
#include <stdexcept>

namespace almondwind::crashes {

namespace {
constexpr size_t kIdentityBytes = 16;
}  // namespace

std::string IdentityOf(const RequestParts& parts) {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  bool valid = context != nullptr &&
               EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  // Each part is preceded by its length, so that no two lists of parts hash the
  // same bytes.
  auto add = [&](std::string_view part) {
    uint64_t size = part.size();
    valid = valid &&
            EVP_DigestUpdate(context.get(), &size, sizeof(size)) == 1 &&
            EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  };
  add(parts.method);
  add(parts.host);
  add(parts.target);
  add(parts.rest.follows ? std::string_view() : parts.body);
  if (parts.rest.follows) {
    add(parts.rest.length ? std::to_string(*parts.rest.length) : "chunked");
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  valid =
      valid && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
  if (!valid) throw std::runtime_error("SHA-256 is not available");
  return {reinterpret_cast<const char*>(digest.data()), kIdentityBytes};
}

std::string ShortName(const std::string& identity) {
  std::string out;
  for (char byte : identity.substr(0, kIdentityBytes / 2)) {
    out += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return out;
}

}  // namespace almondwind::crashes
