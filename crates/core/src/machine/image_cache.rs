//! The images that a machine's cache probably holds.

/// No more images than this are remembered of a machine.
const MAX_IMAGES: usize = 64;

/// An image in a machine's cache.
#[derive(Debug)]
struct CachedImage {
    /// Its name.
    name: String,
    /// Its size in GB.
    size_gb: f64,
}

/// Images that a machine probably has, the most recently used last.
#[derive(Debug, Default)]
pub(crate) struct ImageCache {
    /// In the order of their last use.
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Notes an image as the most recently used; older ones fall out of a cache of that size.
    pub(super) fn mark_used(&mut self, name: &str, size_gb: f64, capacity_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push(CachedImage { name: name.to_owned(), size_gb });
        let mut total_gb: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while self.images.len() > 1 && (total_gb > capacity_gb || self.images.len() > MAX_IMAGES) {
            total_gb -= self.images.remove(0).size_gb;
        }
    }

    /// Names of the images.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.images.iter().map(|image| image.name.as_str())
    }
}
