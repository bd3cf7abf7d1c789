//! Model of the image cache on a machine.

/// Maximum number of images that are remembered for a machine.
const MAX_IMAGES: usize = 64;

/// An image in a machine's cache.
#[derive(Debug)]
struct CachedImage {
    /// Name of the image.
    name: String,
    /// Size of the image in GB.
    size_gb: f64,
}

/// Images that a machine has probably cached.
#[derive(Debug, Default)]
pub(crate) struct ImageCache {
    /// The images, ordered from the least to the most recently used.
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Marks an image as the most recently used and evicts the least recently used images that
    /// exceed `capacity_gb`.
    pub(super) fn mark_used(&mut self, name: &str, size_gb: f64, capacity_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push(CachedImage { name: name.to_owned(), size_gb });
        let mut total_gb: f64 = self.images.iter().map(|image| image.size_gb).sum();
        while self.images.len() > 1 && (total_gb > capacity_gb || self.images.len() > MAX_IMAGES) {
            total_gb -= self.images.remove(0).size_gb;
        }
    }

    /// Returns the names of the images.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.images.iter().map(|image| image.name.as_str())
    }
}
