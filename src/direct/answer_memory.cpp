#include "greengagespar/direct/answer_memory.h"

namespace greengagespar {

AnswerShare::AnswerShare(AnswerMemory &all) : All(all) { ++All.Answers; }

AnswerShare::~AnswerShare() {
  All.Bytes -= Own;
  --All.Answers;
}

bool AnswerShare::keep(std::size_t bytes) {
  All.Bytes = All.Bytes - Own + bytes;
  Own = bytes;
  return All.Bytes <= All.Limit || Own <= All.Limit / All.Answers;
}

} // namespace greengagespar
