//! Text of stand-in answers, from which a caller can prove that an answer is whole and its own.

use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes of a digest that answers repeat.
const DIGEST_BYTES: usize = 8;

/// How an answer differs from the answer to the request.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum AnswerError {
    /// A token that belongs to another request or another place.
    #[snafu(display("token {index} is {found:?} instead of {expected:?}"))]
    WrongToken {
        /// Index of the token.
        index: u64,
        /// The text found.
        found: String,
        /// The text that the request asked for.
        expected: String,
    },
    /// Tokens are missing or too many.
    #[snafu(display("answer has {found} tokens instead of {expected}"))]
    WrongLength {
        /// Tokens found.
        found: u64,
        /// Tokens asked for.
        expected: u64,
    },
}

/// Digest of what was asked: the model with its version, and the prompt.
pub fn digest(model: &str, prompt: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(model.as_bytes());
    hasher.update(b"\n");
    hasher.update(prompt.as_bytes());
    hex::encode(&hasher.finalize()[..DIGEST_BYTES])
}

/// Digest of any bytes, in the same form.
pub fn digest_bytes(bytes: &[u8]) -> String {
    hex::encode(&Sha256::digest(bytes)[..DIGEST_BYTES])
}

/// Text of the output token at `index` of the request with `digest`.
pub fn token(digest: &str, index: u64) -> String {
    format!("{digest}.{index} ")
}

/// The whole output text of `tokens` tokens.
pub fn text(digest: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(digest, index)).collect()
}

/// Checks that `text` is the whole answer of `tokens` tokens to `prompt` on `model`.
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

/// Keys of the whole prefix blocks of `prompt`. Each key covers the model and all text up to the
/// end of its block, so equal keys mean equal prefixes.
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
