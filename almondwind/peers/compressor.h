// Compresses the heads of frames on one link, with earlier heads as context.
//
// Heads between two nodes repeat the same header fields, routes and names, so a
// head compresses to a fraction of its size if earlier ones are available. Only
// links between availability zones are compressed: their traffic is billed,
// traffic within a zone is not.
//
//   Compressor out;                      // one per link and direction
//   link.Write(out.Compress(payload));   // every payload, in order
//   Decompressor in(max_frame_bytes);
//   payload = in.Decompress(bytes);      // the same payloads, in order
//
// The format is raw DEFLATE (RFC 1951) with a flush after each payload. The
// last four bytes of a flush are constant and are omitted, as in RFC 7692.
//
// Bounds: kWindowBits and kMemoryLevel limit a compressor to 32 KB and a
// decompressor to 11 KB; Decompress throws for a payload larger than
// max_frame_bytes. Cost: about 4 us to compress a head of 150 bytes and 0.3 us
// to decompress it. Not thread-safe.
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

  // Returns the compressed `payload`, which must not be empty.
  std::string Compress(std::string_view payload);

 private:
  std::unique_ptr<z_stream_s> stream_;
};

class Decompressor {
 public:
  // Throws std::bad_alloc.
  explicit Decompressor(size_t max_frame_bytes);
  ~Decompressor();

  // Throws base::Error(kMalformed) if `bytes` is not the output of a Compressor
  // or the payload is too large. The object is unusable after that.
  std::string Decompress(std::string_view bytes);

 private:
  const size_t max_frame_bytes_;
  std::unique_ptr<z_stream_s> stream_;
};

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_COMPRESSOR_H_
