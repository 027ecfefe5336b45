#include "memory_chunk.h"

#include <sys/mman.h>

#include <new>

namespace valedrum::catalog {

void ChunkDeleter::operator()(std::byte* chunk) const { ::munmap(chunk, kChunkBytes); }

MemoryChunk allocate_chunk() {
  void* const at = ::mmap(nullptr, kChunkBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (at == MAP_FAILED) throw std::bad_alloc();
  return MemoryChunk(static_cast<std::byte*>(at));
}

}  // namespace valedrum::catalog
