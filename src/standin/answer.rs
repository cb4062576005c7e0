//! Deterministic text of simulated completions, with which a caller verifies that an answer is
//! complete and belongs to its request.

use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Length in bytes of the truncated digest that each output token contains.
const DIGEST_BYTES: usize = 8;

/// Difference between an answer and the expected answer to a request.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnswerError {
    /// A token belongs to another request or another position.
    #[snafu(display("token {index} is {found:?} instead of {expected:?}"))]
    WrongToken {
        /// Index of the token.
        index: u64,
        /// The text found.
        found: String,
        /// The text expected for the request.
        expected: String,
    },
    /// The answer has too few or too many tokens.
    #[snafu(display("answer has {found} tokens instead of {expected}"))]
    WrongLength {
        /// Tokens found.
        found: u64,
        /// Tokens requested.
        expected: u64,
    },
}

/// Truncated digest of the model with its version and the prompt.
pub fn digest(model: &str, prompt: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(model.as_bytes());
    hasher.update(b"\n");
    hasher.update(prompt.as_bytes());
    hex::encode(&hasher.finalize()[..DIGEST_BYTES])
}

/// Truncated digest of arbitrary bytes, in the same format as [`digest`].
pub fn digest_bytes(bytes: &[u8]) -> String {
    hex::encode(&Sha256::digest(bytes)[..DIGEST_BYTES])
}

/// Text of the output token at `index` of the request with `digest`.
pub fn token(digest: &str, index: u64) -> String {
    format!("{digest}.{index} ")
}

/// The complete output text of `tokens` tokens.
pub fn text(digest: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Checks that `text` is the complete answer of `tokens` tokens to `prompt` on `model`.
///
/// # Errors
///
/// Fails if a token differs from the expected one or the number of tokens differs.
pub fn check(text: &str, model: &str, prompt: &str, tokens: u64) -> Result<(), AnswerError> {
    let digest = digest(model, prompt);
    let mut found = 0;
    for (index, word) in (0..).zip(text.split_inclusive(' ')) {
        let expected = token(&digest, index);
        if word != expected {
            let found = word.to_owned();
            return WrongTokenSnafu {
                index,
                found,
                expected,
            }
            .fail();
        }
        found = index + 1;
    }
    if found == tokens {
        Ok(())
    } else {
        let expected = tokens;
        WrongLengthSnafu { found, expected }.fail()
    }
}

/// Number of tokens in `prompt`: one per four bytes, at least one.
pub fn prompt_tokens(prompt: &str) -> u64 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}

/// Keys of the complete prefix blocks of `prompt`. Each key is a digest of the model and all text
/// up to the end of its block, so equal keys mean equal prefixes.
pub fn prefix_keys(model: &str, prompt: &str) -> Vec<String> {
    let mut hasher = Sha256::new();
    hasher.update(model.as_bytes());
    hasher.update(b"\n");
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let mut keys = Vec::new();
    for block in blocks {
        hasher.update(block);
        keys.push(hex::encode(&hasher.clone().finalize()[..DIGEST_BYTES]));
    }
    keys
}
