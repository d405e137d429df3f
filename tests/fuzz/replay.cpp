// Runs a fuzz target over the files of corpus folders, without libFuzzer. Usage: replay FOLDER...
// Exits with 1 if there are fewer than kMinInputs files, as with a wrong path.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

constexpr int kMinInputs = 50;

int main(int argc, char** argv) {
  int inputs = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& file : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(file.path(), std::ios::binary);
      const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++inputs;
    }
  }
  std::printf("%d inputs\n", inputs);
  return inputs >= kMinInputs ? 0 : 1;
}
