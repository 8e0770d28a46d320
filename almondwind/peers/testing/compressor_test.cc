// Compression on links: payloads survive a round trip, and corrupted bytes give
// a payload within the bound or a base::Error.

#define BOOST_TEST_MODULE compressor
#include "almondwind/peers/compressor.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "almondwind/base/outcome.h"

namespace almondwind::peers {
namespace {

constexpr size_t kLimit = 1u << 20;

std::string RandomBytes(std::mt19937_64& random, size_t size, int values) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random() % static_cast<uint64_t>(values));
  }
  return bytes;
}

}  // namespace

BOOST_AUTO_TEST_CASE(payloads_survive_the_way) {
  std::mt19937_64 random(20261204);
  Compressor out;
  Decompressor in(kLimit);
  for (size_t size : {1, 2, 100, 4095, 4096, 4097, 70'000, 300'000}) {
    for (int values : {1, 4, 256}) {
      std::string payload = RandomBytes(random, size, values);
      BOOST_TEST((in.Decompress(out.Compress(payload)) == payload));
    }
  }
  for (int i = 0; i < 3000; ++i) {
    std::string payload = RandomBytes(random, 1 + random() % 900, 40);
    BOOST_REQUIRE((in.Decompress(out.Compress(payload)) == payload));
  }
}

// Traffic like that of a link: the same fields in each payload, with an id and
// a body that differ.
BOOST_AUTO_TEST_CASE(repeated_fields_cost_little) {
  std::mt19937_64 random(20261204);
  Compressor out;
  size_t before = 0;
  size_t after = 0;
  for (int i = 0; i < 500; ++i) {
    std::string payload =
        "Host: h.example User-Agent: sdk-client/1.9.3 "
        "Accept: */* Accept-Encoding: identity route-kbn8y5c "
        "upstream-0367852e17 service-pricing ";
    payload += RandomBytes(random, 24, 256);
    before += payload.size();
    after += out.Compress(payload).size();
  }
  BOOST_TEST(after * 3 < before);
}

BOOST_AUTO_TEST_CASE(hostile_bytes_are_refused_or_read_never_worse) {
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 3000; ++i) {
    Compressor out;
    Decompressor in(kLimit);
    std::string bytes = out.Compress(RandomBytes(random, 300, 20));
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      BOOST_TEST(in.Decompress(bytes).size() <= kLimit);
    } catch (const base::Error&) {
      // the only exception allowed
    }
  }
}

BOOST_AUTO_TEST_CASE(a_payload_that_unpacks_beyond_the_bound_is_refused) {
  Compressor out;
  Decompressor in(kLimit);
  std::string bomb = out.Compress(std::string(50 * kLimit, 'x'));
  BOOST_TEST(bomb.size() < kLimit);
  BOOST_CHECK_THROW(in.Decompress(bomb), base::Error);
}

}  // namespace almondwind::peers
