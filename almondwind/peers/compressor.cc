#include "almondwind/peers/compressor.h"

#include <zlib.h>

#include <array>
#include <new>

#include "almondwind/base/outcome.h"

namespace almondwind::peers {
namespace {

// A window of 4 KB holds the most recent heads, which resemble the next one
// most. A larger window takes more memory on every link.
constexpr int kWindowBits = 12;
constexpr int kMemoryLevel = 5;
// Heads are short, so a higher level and dynamic code tables gain nothing.
constexpr int kLevel = Z_BEST_SPEED;
// Last four bytes of every sync flush.
constexpr std::string_view kSyncFlushMarker("\x00\x00\xff\xff", 4);
constexpr size_t kChunkBytes = 4096;

Bytef* ZlibInput(std::string_view bytes) {
  // zlib takes a non-const pointer but only reads through it.
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

Compressor::Compressor() : stream_(std::make_unique<z_stream>()) {
  int status = deflateInit2(stream_.get(), kLevel, Z_DEFLATED, -kWindowBits,
                            kMemoryLevel, Z_FIXED);
  if (status != Z_OK) throw std::bad_alloc();
}

Compressor::~Compressor() { deflateEnd(stream_.get()); }

std::string Compressor::Compress(std::string_view payload) {
  std::string out;
  std::array<char, kChunkBytes> chunk{};
  stream_->next_in = ZlibInput(payload);
  stream_->avail_in = static_cast<uInt>(payload.size());
  do {
    stream_->next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream_->avail_out = kChunkBytes;
    deflate(stream_.get(), Z_SYNC_FLUSH);
    out.append(chunk.data(), kChunkBytes - stream_->avail_out);
  } while (stream_->avail_out == 0);
  out.resize(out.size() - kSyncFlushMarker.size());
  return out;
}

Decompressor::Decompressor(size_t max_frame_bytes)
    : max_frame_bytes_(max_frame_bytes), stream_(std::make_unique<z_stream>()) {
  if (inflateInit2(stream_.get(), -kWindowBits) != Z_OK) throw std::bad_alloc();
}

Decompressor::~Decompressor() { inflateEnd(stream_.get()); }

std::string Decompressor::Decompress(std::string_view bytes) {
  std::string out;
  std::array<char, kChunkBytes> chunk{};
  for (std::string_view input : {bytes, kSyncFlushMarker}) {
    stream_->next_in = ZlibInput(input);
    stream_->avail_in = static_cast<uInt>(input.size());
    do {
      stream_->next_out = reinterpret_cast<Bytef*>(chunk.data());
      stream_->avail_out = kChunkBytes;
      int status = inflate(stream_.get(), Z_SYNC_FLUSH);
      out.append(chunk.data(), kChunkBytes - stream_->avail_out);
      // Z_BUF_ERROR is how zlib reports that the input is used up.
      bool valid = status == Z_OK || status == Z_BUF_ERROR;
      if (!valid || out.size() > max_frame_bytes_) {
        throw base::Error(base::Reason::kMalformed,
                          valid ? "link frame is too long when decompressed"
                                : "link frame cannot be decompressed");
      }
    } while (stream_->avail_out == 0 || stream_->avail_in > 0);
  }
  return out;
}

}  // namespace almondwind::peers
