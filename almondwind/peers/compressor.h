// Compression of the heads of frames on one link, each with what came before
// it.
//
// Heads between two nodes repeat the same header fields, routes and names, so
// one costs a fraction of its size when earlier ones are at hand. Bytes
// between availability zones are billed; within one they are not, and links
// there go without.
//
//   Compressor out;                      // one a link and direction
//   link.Write(out.Compress(payload));   // every payload, in order
//   Decompressor in(max_frame_bytes);
//   payload = in.Decompress(bytes);      // the same payloads, in order
//
// Raw DEFLATE (RFC 1951) with a flush after each payload, whose constant last
// four bytes are left out as in RFC 7692.
//
// Bounds: kWindowBits and kMemoryLevel, 32 KB for a compressor and 11 KB for a
// decompressor; a payload of max_frame_bytes, beyond which Decompress throws.
// Cost: about 4 us for a head of 150 bytes, and 0.3 us to unpack it. Not
// thread-safe.
#ifndef ALMONDWIND_PEERS_COMPRESSOR_H_
#define ALMONDWIND_PEERS_COMPRESSOR_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace almondwind::peers {

class Compressor {
 public:
  // Throws std::bad_alloc.
  Compressor();
  ~Compressor();

  // `payload` is not empty.
  std::string Compress(std::string_view payload);

 private:
  std::unique_ptr<z_stream_s> stream_;
};

class Decompressor {
 public:
  // Throws std::bad_alloc.
  explicit Decompressor(size_t max_frame_bytes);
  ~Decompressor();

  // Throws base::Error(kMalformed) for bytes that no Compressor has made, and
  // for a payload that is too long. Nothing can be read after that.
  std::string Decompress(std::string_view bytes);

 private:
  const size_t max_frame_bytes_;
  std::unique_ptr<z_stream_s> stream_;
};

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_COMPRESSOR_H_
