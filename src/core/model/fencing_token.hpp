/// Fencing tokens. An agent executes commands only under a token that is no lower than the highest
/// it has seen.
///
/// A token consists of the leader's term, in the high bits, and a generation. Each machine has a
/// generation of its own, which its leader raises to invalidate the direct commands that it sent to
/// the machine before. A newer term exceeds every generation of an older one, so no generation has
/// to be stored.
#pragma once

#include <cstdint>

namespace bendspindle::core {

inline constexpr unsigned token_generation_bits = 32;

/// Returns the token of a generation. Generation 0 is the first of a term.
[[nodiscard]] constexpr std::uint64_t fencing_token(std::uint64_t term,
                                                    std::uint32_t generation = 0) {
    return (term << token_generation_bits) | generation;
}

/// Returns whether the token comes from a leader of a version without generations, whose token was
/// its plain term. Such a leader exists during a roll-out.
[[nodiscard]] constexpr bool is_plain_term(std::uint64_t fencing_token) {
    return fencing_token != 0 && fencing_token >> token_generation_bits == 0;
}

/// Returns the term of a token; 0 for an agent that has not seen any.
[[nodiscard]] constexpr std::uint64_t term_of(std::uint64_t fencing_token) {
    return is_plain_term(fencing_token) ? fencing_token : fencing_token >> token_generation_bits;
}

/// Returns the generation of a token.
[[nodiscard]] constexpr std::uint32_t generation_of(std::uint64_t fencing_token) {
    return is_plain_term(fencing_token) ? 0 : static_cast<std::uint32_t>(fencing_token);
}

}  // namespace bendspindle::core
