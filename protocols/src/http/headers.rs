//! The headers of a response.

/// The headers of a response, as names and values.
pub(super) struct Headers<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Headers<'a> {
    /// The headers with these names and values.
    pub(super) fn new(headers: Vec<(&'a [u8], &'a [u8])>) -> Headers<'a> {
        Headers(headers)
    }

    /// The values of all headers of this name.
    fn values<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + 'b {
        let headers = self.0.iter().filter(|(header, _)| header.eq_ignore_ascii_case(name.as_bytes()));
        headers.map(|(_, value)| value.trim_ascii())
    }

    /// The items of the comma-separated lists in all headers of this name.
    pub(super) fn items<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + 'b {
        let lists = self.values(name).map(|value| value.split(|byte| *byte == b','));
        lists.flatten().map(<[u8]>::trim_ascii)
    }

    /// Whether a header of this name has this item in its comma-separated list.
    pub(super) fn lists(&self, name: &str, item: &str) -> bool {
        self.items(name).any(|listed| listed.eq_ignore_ascii_case(item.as_bytes()))
    }

    /// The value that all headers of this name have, or `Some(None)` without such a header. None if they differ.
    pub(super) fn single_value(&self, name: &str) -> Option<Option<&'a [u8]>> {
        let mut values = self.values(name);
        let first = values.next();
        values.all(|value| Some(value) == first).then_some(first)
    }
}
