#include "piece.h"

#include <sys/mman.h>

#include <new>

namespace valedrum::catalog {

void Unmap::operator()(std::byte* piece) const { ::munmap(piece, kPieceBytes); }

Piece make_piece() {
  void* const at = ::mmap(nullptr, kPieceBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (at == MAP_FAILED) throw std::bad_alloc();
  return Piece(static_cast<std::byte*>(at));
}

}  // namespace valedrum::catalog
